/** Reads job ids from the payloads of peer frames. */
import type { JobId } from '../../core/types.js';
import { parseJobId } from '../wire/job_id.js';
import { FrameError, type FrameReader } from './frame_buffer.js';

/** Reads a job id. Throws `FrameError` if the text is not a job id. */
export function readJobId(reader: FrameReader): JobId {
  const id = parseJobId(reader.text());
  if (!id) throw new FrameError('not a job id');
  return id;
}
