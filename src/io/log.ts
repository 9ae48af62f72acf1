/** Writes the log as JSON lines on standard error. */
import pino from 'pino';
import type { LogEntry, LogFields, LogLevel } from '../core/log_events.js';

/** Writes one log entry. */
export type Log = (entry: LogEntry) => void;

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug'];
const DEFAULT_LEVEL: LogLevel = 'info';
const STANDARD_ERROR = 2;

const configuredLevel = (): LogLevel => LEVELS.find((level) => level === process.env.LOG_LEVEL) ?? DEFAULT_LEVEL;

/**
 * Returns a log that writes JSON lines to standard error. Lines are written synchronously, because the process may be
 * killed without notice. The environment variable `LOG_LEVEL` sets the lowest level that is written: `error`, `info` or
 * `debug`. Any other value means `info`.
 */
export function createLog(controller: string): Log {
  const logger = pino(
    { level: configuredLevel(), base: { node: controller }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: STANDARD_ERROR, sync: true }),
  );
  return ({ level, event, fields }) => {
    if (!logger.isLevelEnabled(level)) return;
    logger[level](bigintsAsText(fields), event);
  };
}

/** Converts bigint values to text, because JSON has no bigint. */
function bigintsAsText(fields: LogFields): Record<string, unknown> {
  const printable: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(fields)) {
    printable[key] = typeof value === 'bigint' ? value.toString() : value;
  }
  return printable;
}
