/** A proxy whose open connections can fall silent for good, while new ones work. */
import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';

interface Link {
  isSilent: boolean;
  readonly client: Socket;
  readonly target: Socket;
}

/** A proxy of one target. */
export class SilencingProxy {
  private readonly links = new Set<Link>();

  private constructor(private readonly target: string) {}

  private readonly server = createServer(client => this.accept(client));

  static async start(target: string): Promise<SilencingProxy> {
    const proxy = new SilencingProxy(target);
    proxy.server.listen(0, '127.0.0.1');
    await once(proxy.server, 'listening');
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** From now on no byte and no end passes on the connections that are open. */
  silenceOpenConnections(): number {
    this.links.forEach(link => (link.isSilent = true));
    return this.links.size;
  }

  close(): void {
    this.server.close();
    this.links.forEach(({client, target}) => {
      client.destroy();
      target.destroy();
    });
  }

  private accept(client: Socket): void {
    const [host, port] = this.target.split(':');
    const target = connect({host: host!, port: Number(port)});
    const link = {isSilent: false, client, target};
    this.links.add(link);
    forward(link, client, target);
    forward(link, target, client);
    client.once('close', () => {
      this.links.delete(link);
      // The peer of a silent connection does not learn of its end.
      if (!link.isSilent) target.destroy();
    });
  }
}

function forward(link: Link, from: Socket, to: Socket): void {
  from.on('data', (chunk: Buffer) => {
    if (!link.isSilent) to.write(chunk);
  });
  from.on('error', () => undefined);
  from.on('close', () => {
    if (!link.isSilent) to.destroy();
  });
}
