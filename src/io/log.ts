import pino from 'pino';
import type { LogLevel } from '../core/messages.js';

export type Log = (level: LogLevel, text: string, fields?: Record<string, unknown>) => void;

/** Levelled lines on standard error, written at once: a process may be killed without notice. */
export function makeLog(node: string): Log {
  const wanted = process.env.LOG_LEVEL ?? 'info';
  const level = ['error', 'info', 'debug'].includes(wanted) ? wanted : 'info';
  const logger = pino(
    { level, base: { node }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: 2, sync: true }),
  );
  return (at, text, fields = {}) => {
    if (!logger.isLevelEnabled(at)) return;
    logger[at](withoutBigints(fields), text);
  };
}

function withoutBigints(fields: Record<string, unknown>): Record<string, unknown> {
  const out: Record<string, unknown> = {};
  for (const [k, v] of Object.entries(fields)) out[k] = typeof v === 'bigint' ? v.toString() : v;
  return out;
}
