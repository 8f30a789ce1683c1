/** Version of the command and of the entries it runs. */
export const VERSION = '0.1.0';
