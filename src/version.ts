export const VERSION = '0.1.0';
