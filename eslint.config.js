import js from '@eslint/js';
import prettier from 'eslint-config-prettier';
import { readdirSync } from 'node:fs';
import tseslint from 'typescript-eslint';
import { listForbidden } from './tools/layers.js';
import { verbsRule } from './tools/verbs-rule.js';

/** Names of the platform's wire that only `platform/` and the stand-ins may use. */
const WIRE_NAMES =
  '^(row_version|fencing_token|acked_through|expected_revision|cold_remaining_ms|path_prefix|api_keys|target_latency_ms|est_ms|now_ms|deadline_ms|/api/.*)$';

const packages = readdirSync(new URL('./packages', import.meta.url));

const boundaries = packages.map((name) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: listForbidden(name).flatMap((other) => [`@currantgap/${other}`]),
            message: 'Dependencies between packages point downwards (tools/layers.js).',
          },
          { group: ['@currantgap/*/*'], message: 'Import a package through its index.' },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['dist', 'packages/peer/src/gen', 'node_modules', 'tools', '*.js'] },
  js.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  prettier,
  {
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { local: { rules: { verbs: verbsRule } } },
    rules: {
      'local/verbs': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts', 'packages/features/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off', 'local/verbs': 'off' },
  },
  {
    files: ['packages/*/src/**/*.ts'],
    ignores: ['packages/standins/**'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=/${WIRE_NAMES.replaceAll('/', '\\/')}/]`,
          message: 'Only platform/ uses names of the wire.',
        },
        {
          selector: `Property > Identifier.key[name=/${WIRE_NAMES.replaceAll('/', '\\/')}/]`,
          message: 'Only platform/ uses names of the wire.',
        },
      ],
    },
  },
  ...boundaries,
);
