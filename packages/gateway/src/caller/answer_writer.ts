/** Writes to callers how their requests ended. */
import {removeHopByHopHeaders} from '@ragworthall/daemon';
import type {ServerResponse} from 'node:http';
import type {ServerAnswer} from '../backend_server/send_result.js';
import {ANSWERING_SERVER_HEADER} from '../peer/relay_header.js';
import type {WireFormat} from '../platform/wire_format.js';
import {
  type CallerRequest,
  Failure,
  type RequestEnd,
} from '../request/caller_request.js';

/** Status codes whose answers have neither a body nor a length. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const MS_PER_S = 1_000;

/** Writes the end of a request; nothing more is written for it. */
export function writeEnd(
  res: ServerResponse,
  request: CallerRequest,
  end: RequestEnd,
  names: WireFormat['headers'],
): void {
  const writeStatus = (status: number, reason: string) => {
    res.setHeader(names.requestId, request.id);
    res.writeHead(status).end(`${reason}\n`);
  };
  switch (end.kind) {
    case 'answered':
      return writeAnswer(res, request, end.answer, names);
    case 'refused': {
      const retryAfterS = Math.ceil(end.retryAfterMs) / MS_PER_S;
      res.setHeader('retry-after', String(retryAfterS));
      return writeStatus(503, end.reason);
    }
    case 'no_route':
      return writeStatus(404, 'no route');
    case 'unknown':
      return writeStatus(end.reason === Failure.Late ? 504 : 502, end.reason);
    case 'abandoned':
      res.destroy();
      return;
    default:
      end satisfies never;
  }
}

function writeAnswer(
  res: ServerResponse,
  request: CallerRequest,
  {server, status, headers, body}: ServerAnswer,
  names: WireFormat['headers'],
): void {
  const internalHeaders = new Set([
    names.load,
    names.serverId,
    ANSWERING_SERVER_HEADER,
  ]);
  const kept = removeHopByHopHeaders(
    headers,
    name => !internalHeaders.has(name),
  );
  for (let i = 0; i + 1 < kept.length; i += 2) {
    res.appendHeader(kept[i]!, kept[i + 1]!);
  }
  if (request.relay) res.setHeader(ANSWERING_SERVER_HEADER, server);
  if (!STATUSES_WITHOUT_BODY.has(status) && request.method !== 'HEAD') {
    res.setHeader('content-length', body.byteLength);
  }
  res.writeHead(status);
  writeBody(res, body.blocks);
}

/** Ends an answer with its body. A body of one block is sent with its head. */
function writeBody(res: ServerResponse, blocks: readonly Buffer[]): void {
  blocks.slice(0, -1).forEach(block => res.write(block));
  res.end(blocks.at(-1));
}
