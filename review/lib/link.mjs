// The network on the way to a machine's address, as a TCP proxy. While it is interrupted, packets on open connections are
// held and delivered in order afterwards, also when the sender has given up; a connection attempt that was given up
// meanwhile does not complete later (PROTOCOL-magpielift.md, "Delayed messages").
import { connect, createServer } from 'node:net';

export class Link {
  interrupted = false;
  ways = new Set();
  heldBytes = 0;

  /** `port`: where the machine listens. Resolves with the port of the proxy. */
  async start(port) {
    this.server = createServer({ allowHalfOpen: true }, (client) => this.onConnection(client, port));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  onConnection(client, port) {
    const way = { client, machine: null, held: [], clientEnded: false, answered: [] };
    this.ways.add(way);
    client.on('error', () => {});
    client.on('data', (bytes) => {
      if (this.interrupted && way.machine) this.heldBytes += bytes.length;
      way.held.push(bytes);
      this.flush(way);
    });
    const onEnd = () => {
      way.clientEnded = true;
      if (way.machine !== null) return this.flush(way);
      this.ways.delete(way);
      client.destroy();
    };
    client.on('end', onEnd);
    client.on('close', onEnd);
    way.open = () => {
      const machine = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
      way.machine = machine;
      machine.on('error', () => {});
      machine.on('data', (bytes) => {
        if (this.interrupted) way.answered.push(bytes);
        else if (!client.destroyed) client.write(bytes);
      });
      machine.on('close', () => {
        this.ways.delete(way);
        client.destroy();
      });
    };
    if (!this.interrupted) way.open();
  }

  flush(way) {
    if (this.interrupted || way.machine === null) return;
    for (const bytes of way.held.splice(0)) way.machine.write(bytes);
    for (const bytes of way.answered.splice(0)) if (!way.client.destroyed) way.client.write(bytes);
    if (way.clientEnded) way.machine.end();
  }

  interrupt() {
    this.interrupted = true;
  }

  heal() {
    this.interrupted = false;
    for (const way of this.ways) {
      if (way.machine === null) way.open();
      this.flush(way);
    }
  }

  stop() {
    for (const { client, machine } of this.ways) {
      client.destroy();
      machine?.destroy();
    }
    this.server.close();
  }
}
