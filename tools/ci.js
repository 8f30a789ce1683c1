import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const root = new URL('..', import.meta.url);
const steps = [
  ['lint', 'npm', ['run', '--silent', 'lint']],
  ['format', 'npm', ['run', '--silent', 'format:check']],
  ['types', 'npm', ['run', '--silent', 'typecheck']],
  ['generated code', 'npm', ['run', '--silent', 'generate:check']],
  ['specification', 'npm', ['run', '--silent', 'spec']],
  ['unit tests', 'npm', ['run', '--silent', 'test:unit']],
  ['soak of two seeds', 'npm', ['run', '--silent', 'soak', '--', '--seeds', '2']],
  [
    'soak with persistent tasks',
    'npm',
    ['run', '--silent', 'soak', '--', '--first', '53', '--seeds', '1'],
  ],
  ['features', 'npm', ['run', '--silent', 'test:features']],
  ['features against the binary', 'npm', ['run', '--silent', 'test:binary']],
];

let passed = 0;
let failed = 0;
for (const [name, command, args] of steps) {
  process.stdout.write(`== ${name}\n`);
  const result = spawnSync(command, args, { cwd: root, encoding: 'utf8', maxBuffer: 2 ** 28 });
  const output = result.stdout + result.stderr;
  const counts = countTests(output);
  passed += counts.passed;
  failed += counts.failed;
  if (result.status === 0) {
    if (counts.passed + counts.failed === 0) passed += 1;
    process.stdout.write(`   ok${counts.passed > 0 ? `, ${counts.passed} passed` : ''}\n`);
  } else {
    if (counts.failed === 0) failed += 1;
    process.stdout.write(`${output}\n   failed\n`);
  }
}
printKnownRed();
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;

function countTests(output) {
  const pass = sumMatches(output, /^(?:#|ℹ) pass (\d+)/gm);
  const fail = sumMatches(output, /^(?:#|ℹ) fail (\d+)/gm);
  const scenario = /^(\d+) scenarios? \((.*)\)/m.exec(output)?.[2] ?? '';
  const scenarioPassed = Number(/(\d+) passed/.exec(scenario)?.[1] ?? 0);
  const scenarioFailed = Number(/(\d+) failed/.exec(scenario)?.[1] ?? 0);
  return { passed: pass + scenarioPassed, failed: fail + scenarioFailed };
}

function sumMatches(output, pattern) {
  return [...output.matchAll(pattern)].reduce((sum, match) => sum + Number(match[1]), 0);
}

function printKnownRed() {
  const lines = readFileSync(new URL('KNOWN-RED.txt', root), 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'));
  for (const line of lines) process.stdout.write(`known red: ${line}\n`);
}
