import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTimeline, parseLines } from '../src/explain-command.ts';

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
