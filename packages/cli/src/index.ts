export { run } from './main.ts';
