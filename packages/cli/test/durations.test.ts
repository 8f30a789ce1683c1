import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildErrorRows } from '../src/durations-command.ts';
import { parseLines } from '../src/explain-command.ts';

function createLine(fields: Readonly<Record<string, unknown>>, message = 'run ended'): string {
  return JSON.stringify({ context: { node: 'n1', ...fields }, message, time: 1 });
}

describe('the errors of estimates', () => {
  it('are octaves by route, of the client and of the owner', () => {
    const lines = [1_000, 2_000, 4_000].map((actualMs) =>
      createLine({ route: 'scans', declaredMs: 1_000, expectedMs: 2_000, actualMs }),
    );
    lines.push(createLine({ route: 'checks', declaredMs: 500, expectedMs: 800, actualMs: 800 }));
    assert.deepEqual(
      buildErrorRows(parseLines(lines.join('\n'))).map((row) => Object.values(row)),
      [
        ['checks', 1, '0.68', '0.68', '0.00', '0.00'],
        ['scans', 3, '1.00', '2.00', '1.00', '1.00'],
      ],
    );
  });

  it('leave out runs whose duration is not known, and other lines', () => {
    const durations = { declaredMs: 1_000, expectedMs: 2_000, actualMs: 1_500 };
    const lines = [
      createLine({ route: 'scans', how: 'failed' }),
      createLine({ route: 'scans', ...durations, actualMs: 0 }),
      createLine(durations),
      createLine({ route: 'scans', ...durations }, 'run lost'),
    ];
    assert.deepEqual(buildErrorRows(parseLines(lines.join('\n'))), []);
  });
});
