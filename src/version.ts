/** The version of this release. */
export const VERSION = '0.1.0';
