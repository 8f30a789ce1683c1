import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTimeline, describeCopies, parseLines } from '../src/explain-command.ts';

const LOG = `
  1.2 edge-1 {"context":{"node":"n1","request":"aa","target":"t1"},"message":"start answered","time":200}
{"context":{"node":"n2","request":"aa"},"message":"submission written","time":100}
{"context":{"node":"n1","target":"t1"},"message":"target silent","time":250}
{"context":{"node":"n1","target":"t2"},"message":"target silent","time":260}
{"context":{"node":"n2"},"message":"ownership taken","time":300}
{"context":{"node":"n1","request":"bb"},"message":"run ended","time":310}
{"context":{"node":"n1","request":"aa","target":"t1"},"message":"run lost","time":400}
{"context":{"node":"n2"},"message":"ownership taken","time":500}
{"context":{"node":"n1","requ
`;

describe('the timeline of a request', () => {
  it('has the lines of all nodes in time order, with events of its targets and of the owner', () => {
    assert.deepEqual(
      buildTimeline('aa', parseLines(LOG)).map(({ message, time }) => `${time} ${message}`),
      [
        '100 submission written',
        '200 start answered',
        '250 target silent',
        '300 ownership taken',
        '400 run lost',
      ],
    );
  });

  it('is empty when no line has the id of the request', () => {
    assert.deepEqual(buildTimeline('cc', parseLines(LOG)), []);
  });

  it('shows why a request was refused under load, and when its pool became contended', () => {
    const log = `
{"context":{"node":"n1","request":"dd","reason":"hopeless","waitMs":9000,"retryAfterS":4},"message":"submission refused","time":10}
{"context":{"node":"n2","service":"kartes"},"message":"pool contended no longer","time":12}
{"context":{"node":"n1","request":"dd"},"message":"submission written","time":20}
`;
    assert.deepEqual(
      buildTimeline('dd', parseLines(log)).map(({ message }) => message),
      ['submission refused', 'pool contended no longer', 'submission written'],
    );
  });
});

describe('the copies of a request', () => {
  const START = `{"context":{"node":"n1","request":"aa","task":"aa.0.0.1","run":2,"target":"t2","originalRun":1,"originalTarget":"t1"},"message":"copy started","time":100}`;
  const END = `{"context":{"node":"n1","request":"aa","task":"aa.0.0.1","run":2,"reason":"copy done"},"message":"copy won","time":200}`;

  it('are described as run twice by intent, with the run that was done first', () => {
    assert.deepEqual(describeCopies(buildTimeline('aa', parseLines(`${START}\n${END}`))), [
      'Task aa.0.0.1 ran twice by intent: run 1 on t1 and run 2 on t2; copy won, copy done.',
    ]);
  });

  it('have no result if a new owner took over before their end', () => {
    const [line] = describeCopies(buildTimeline('aa', parseLines(START)));
    assert.match(line ?? '', /no end logged\.$/);
  });
});
