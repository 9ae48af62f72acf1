import pino from 'pino';
import type { LogFields, LogLevel } from '../core/messages.js';

export type Log = (level: LogLevel, text: string, fields?: LogFields) => void;

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug'];
const DEFAULT_LEVEL: LogLevel = 'info';
const STANDARD_ERROR = 2;

const configuredLevel = (): LogLevel => LEVELS.find((level) => level === process.env.LOG_LEVEL) ?? DEFAULT_LEVEL;

/** Levelled lines on standard error, written at once: a process may be killed without notice. */
export function createLog(node: string): Log {
  const logger = pino(
    { level: configuredLevel(), base: { node }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: STANDARD_ERROR, sync: true }),
  );
  return (level, text, fields = {}) => {
    if (!logger.isLevelEnabled(level)) return;
    logger[level](bigintsAsText(fields), text);
  };
}

/** JSON has no bigint. */
function bigintsAsText(fields: LogFields): Record<string, unknown> {
  const printable: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(fields)) {
    printable[key] = typeof value === 'bigint' ? value.toString() : value;
  }
  return printable;
}
