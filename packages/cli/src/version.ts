/** Version of the command line and of the entries that it runs. */
export const VERSION = '0.1.0';
