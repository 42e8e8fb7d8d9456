/** Access to the platform's table over HTTP. */
import type {
  Row,
  Transaction,
  TransactionConflict,
  TransactionResult,
} from '@ragworthall/contracts';
import type {
  ReadOutcome,
  Table,
  TransactionOutcome,
} from '@ragworthall/balancer';
import {parseJson, type PlatformClient} from './platform_client.js';

/** The platform's table, read and written over HTTP. */
export class HttpTable implements Table {
  constructor(private readonly client: PlatformClient) {}

  async transact(tx: Transaction): Promise<TransactionOutcome> {
    // Not retried here: if the answer is lost, only the writer can find out
    // whether the transaction took effect.
    const body = JSON.stringify(tx);
    const reply = await this.client.send('POST', '/table/transactions', body);
    switch (reply.kind) {
      case 'answer':
        return outcomeOf(reply.status, reply.body);
      case 'lost':
        return {kind: 'unknown', detail: reply.detail};
      case 'unsent':
        return {kind: 'unavailable', detail: reply.detail};
      default:
        throw new Error(`unexpected reply: ${reply satisfies never}`);
    }
  }

  async read(key: string): Promise<ReadOutcome> {
    const path = `/table/rows/${encodeURIComponent(key)}`;
    return this.get(path, body => [body as Row]);
  }

  async list(prefix: string): Promise<ReadOutcome> {
    const path = `/table/rows?prefix=${encodeURIComponent(prefix)}`;
    return this.get(path, body => (body as {rows: Row[]}).rows);
  }

  private async get(
    path: string,
    rowsOf: (body: unknown) => Row[],
  ): Promise<ReadOutcome> {
    const reply = await this.client.read(path);
    if (reply.kind !== 'answer') {
      return {kind: 'unavailable', detail: reply.detail};
    }
    switch (reply.status) {
      case 200: {
        const body = parseJson(reply.body);
        return body === undefined
          ? {kind: 'unavailable', detail: 'the answer is not valid JSON'}
          : {kind: 'rows', rows: rowsOf(body)};
      }
      case 404:
        return {kind: 'rows', rows: []};
      default:
        return {kind: 'unavailable', detail: `status ${reply.status}`};
    }
  }
}

function outcomeOf(status: number, bytes: Buffer): TransactionOutcome {
  const body = parseJson(bytes);
  if (body !== undefined && status === 200) {
    return {kind: 'done', versions: (body as TransactionResult).versions};
  }
  if (body !== undefined && status === 409) {
    return {kind: 'conflict', failed: (body as TransactionConflict).failed};
  }
  return {kind: 'unknown', detail: `status ${status}`};
}
