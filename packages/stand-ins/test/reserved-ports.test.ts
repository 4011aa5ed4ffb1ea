import { once } from 'node:events';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterAll, expect, test } from '@jest/globals';
import { ReservedPorts } from '@turmerichoist/stand-ins';
import { HOST, freePort } from './support.js';

const PORTS = 200;
const LISTENERS = 1_500;

const servers: Server[] = [];

async function listenOn(port: number): Promise<number> {
  const server = createServer().listen(port, HOST);
  servers.push(server);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

afterAll(() => {
  for (const server of servers) {
    server.close();
  }
});

// A listener that asks for any port was given the port of an entry that had not listened on it yet,
// and the entry ended with EADDRINUSE.
test('a free port is given to another socket before its process listens on it', async () => {
  const ports: number[] = [];
  while (ports.length < PORTS) {
    ports.push(await freePort());
  }
  const taken = new Set<number>();
  for (let i = 0; i < LISTENERS; i += 1) {
    taken.add(await listenOn(0));
  }
  expect(ports.filter((port) => taken.has(port))).toEqual([]);
  expect(new Set(ports).size).toBe(PORTS);
  await expect(Promise.all(ports.map(listenOn))).resolves.toEqual(ports);
});

test('two processes are given the same port', async () => {
  const reservations = Array.from({ length: 20 }, () => new ReservedPorts());
  const ports: number[] = [];
  for (let i = 0; i < 40; i += 1) {
    ports.push(...(await Promise.all(reservations.map((reserved) => reserved.next()))));
  }
  expect(new Set(ports).size).toBe(ports.length);
  await Promise.all(reservations.map((reserved) => reserved.close()));
});

test('a port that another program listens on is returned', async () => {
  const reserved = new ReservedPorts();
  const first = await reserved.next();
  // Fails when another program listens there, which serves as well.
  await listenOn(first + 1).catch(() => undefined);
  expect(await reserved.next()).not.toBe(first + 1);
  await reserved.close();
});
