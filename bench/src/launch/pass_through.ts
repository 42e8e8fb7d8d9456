/**
 * Baseline for throughput and latency: a plain reverse proxy with the same
 * libraries as the daemon, which forwards to the servers in turn and makes no
 * decisions.
 *
 *     node dist/launch/pass_through.js ADDRESS [ADDRESS...]
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Pool} from 'undici';

/** Maximum number of connections to each backend server. */
const MAX_CONNECTIONS = 64;

const pools = process.argv
  .slice(2)
  .map(
    address => new Pool(`http://${address}`, {connections: MAX_CONNECTIONS}),
  );
let nextPool = 0;

async function forward(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  nextPool = (nextPool + 1) % pools.length;
  const answer = await pools[nextPool]!.request({
    method: req.method as 'GET',
    path: req.url!,
    headers: {'idempotency-key': String(req.headers['idempotency-key'])},
    body: chunks.length > 0 ? Buffer.concat(chunks) : null,
  });
  const body = Buffer.from(await answer.body.arrayBuffer());
  res.writeHead(answer.statusCode, {
    'content-type': 'application/json',
    'content-length': body.byteLength,
  });
  res.end(body);
}

const server = createServer((req, res) => void forward(req, res));
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  console.log(JSON.stringify({url: `http://127.0.0.1:${port}`}));
});
