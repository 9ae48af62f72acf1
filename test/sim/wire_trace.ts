/** Traces the messages that the controllers send, to compare the behaviour of two builds. */
import { createHash, type Hash } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import type { Output } from '../../src/core/messages.js';
import { encodeCloudRequest } from '../../src/io/cloud/cloud_codec.js';
import type { HttpRequest } from '../../src/io/http/http_request.js';
import { encodeStateStoreRequest } from '../../src/io/state_store/state_store_codec.js';
import { encodeUserResponse } from '../../src/io/users/user_codec.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';
import { COMMANDS_PATH, encodeHeartbeatResponse, encodePushedCommands } from '../../src/io/workers/worker_codec.js';
import type { Build } from './build.js';

const NO_BODY = Buffer.alloc(0);

/** A message that a controller sends: its recipient, a line that identifies the message, and its body. */
interface SentMessage {
  readonly to: string;
  readonly line: string;
  readonly body: Uint8Array;
}

function toSentCall(to: string, { method, path, body }: HttpRequest): SentMessage {
  return { to, line: `${method} ${path}`, body: body === undefined ? NO_BODY : encodeCbor(body) };
}

/** Encodes an output as a build sends it; null for log events, which aren't sent to another process. */
function toSentMessage(build: Build, output: Output): SentMessage | null {
  switch (output.kind) {
    case 'userResponse': {
      const retryAfterS = 'retryAfterSeconds' in output.response ? (output.response.retryAfterSeconds ?? 0) : 0;
      const line = `${output.response.status} ${retryAfterS}`;
      return { to: 'user', line, body: encodeCbor(encodeUserResponse(output.response)) };
    }
    case 'heartbeatResponse':
      return {
        to: 'worker',
        line: `${output.response.status}`,
        body: encodeCbor(encodeHeartbeatResponse(output.response)),
      };
    case 'stateStoreCall':
      return toSentCall('state', encodeStateStoreRequest(output.operation));
    case 'cloudCall':
      return toSentCall('cloud', encodeCloudRequest(output.operation));
    case 'commandPush':
      return toSentCall(output.operation.address, {
        method: 'POST',
        path: COMMANDS_PATH,
        body: encodePushedCommands(output.operation),
      });
    case 'peerMessage':
      return { to: output.recipient, line: 'frame', body: build.encodeFrame(build.toBuildMessage(output.message)) };
    case 'log':
      return null;
  }
}

/**
 * A digest of all messages that the controllers of a world send, as bytes on the wire with sender, recipient and
 * virtual time. Two builds with the same digest sent the same messages, whatever names their code uses.
 * `SIM_TRACE=FILE` turns tracing on. Each world appends a line to FILE with its name, the digest and the number of
 * messages.
 */
export class WireTrace {
  private readonly hash: Hash = createHash('sha256');
  private count = 0;

  private constructor(private readonly file: string) {}

  /** Creates a trace to the file that `SIM_TRACE` names; null if it is not set. */
  static fromEnvironment(): WireTrace | null {
    const file = process.env.SIM_TRACE;
    return file ? new WireTrace(file) : null;
  }

  /** Adds an output that a controller sends. */
  add(atMs: number, from: string, build: Build, output: Output): void {
    const sent = toSentMessage(build, output);
    if (sent === null) return;
    this.count += 1;
    this.hash.update(`${atMs} ${from} ${sent.to} ${sent.line} ${sent.body.length}\n`);
    this.hash.update(sent.body);
  }

  /** Appends the line of this world to the file. Nothing may be added afterwards. */
  end(name: string): void {
    appendFileSync(this.file, `${name} ${this.hash.digest('hex')} ${this.count}\n`);
  }
}
