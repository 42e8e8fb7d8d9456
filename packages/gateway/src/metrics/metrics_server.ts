/** HTTP server for the metrics. */
import {createServer, type Server} from 'node:http';
import type {GatewayMetrics} from './gateway_metrics.js';

const PATH = '/metrics';
const CONTENT_TYPE = 'text/plain; version=0.0.4';

/** Returns a server for `GET /metrics`; the caller listens and closes. */
export function metricsServer(metrics: GatewayMetrics): Server {
  return createServer((req, res) => {
    if (req.url !== PATH) {
      res.writeHead(404).end(`metrics are at ${PATH}\n`);
      return;
    }
    void metrics
      .text()
      .then(text =>
        res.writeHead(200, {'content-type': CONTENT_TYPE}).end(text),
      );
  });
}
