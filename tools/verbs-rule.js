import { readFileSync } from 'node:fs';

const page = readFileSync(new URL('../docs/verbs.md', import.meta.url), 'utf8');
const verbs = new Set([...page.matchAll(/^- `([a-z]+)`/gm)].map((match) => match[1]));
const inherited = new Set(['constructor', 'execute']);

function checkName(context, node, name) {
  const first = /^#?[a-z]+/.exec(name)?.[0]?.replace('#', '');
  if (first === undefined || inherited.has(name) || verbs.has(first)) return;
  context.report({
    node,
    message: `Function "${name}" must begin with a verb of docs/verbs.md; rename it or add the verb there.`,
  });
}

/** Requires every named function and method to begin with a verb of docs/verbs.md. */
export const verbsRule = {
  meta: { type: 'suggestion', schema: [] },
  create(context) {
    return {
      FunctionDeclaration(node) {
        if (node.id) checkName(context, node, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method') checkName(context, node, node.key.name);
      },
      TSAbstractMethodDefinition(node) {
        if (node.kind === 'method') checkName(context, node, node.key.name);
      },
    };
  },
};
