import {
  STATUS_CODES,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import {
  ConnectionTable,
  type CallerLimits,
  type ConnectionId,
  type Millis,
} from '@turmerichoist/core';
import { sendResponse } from './early-response.js';
import type { GuardedListener, GuardReason, ListenerGuard } from './listener-guard.js';

/** Requests on one connection whose responses have not been sent. */
const MAX_PIPELINED = 16;
const MAX_HEADER_FIELDS = 128;
const CHECK_INTERVAL_MS: Millis = 1_000;
/** By this time a connection outlasts the time for which the load balancer keeps it open. */
const KEEP_ALIVE_MARGIN_MS: Millis = 5_000;
/** A connection whose responses are not read is closed after this time. */
const UNREAD_TIMEOUT_MS: Millis = 10_000;

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
const HEADER_FIELDS_TOO_LARGE = 431;

export type RequestListener = (req: IncomingMessage, res: ServerResponse) => void;

export interface GuardedServerOptions {
  readonly guard: ListenerGuard;
  readonly maxConnections: number;
  /** The limits in force. */
  readonly limits: () => CallerLimits;
  /** Least time for which an idle connection is kept. */
  readonly keepAliveMs: Millis;
  readonly onRequest: RequestListener;
}

interface Connection {
  readonly id: ConnectionId;
  readonly socket: Socket;
  /** Requests without a complete response. */
  open: number;
  /** Bytes received when the connection became idle. */
  idleBytes: number;
  /** When a sweep first found part of a request on the idle connection. */
  headerSince: Millis | undefined;
  /** Bytes sent at the last sweep that found an unread response, and its time. */
  unread: { readonly bytes: number; readonly since: Millis } | undefined;
  closed: boolean;
}

/** An HTTP server whose connections and requests are bounded. Owns its sockets. */
export class GuardedServer implements GuardedListener {
  readonly server: Server;
  readonly #options: GuardedServerOptions;
  readonly #table: ConnectionTable;
  readonly #byId = new Map<ConnectionId, Connection>();
  readonly #bySocket = new WeakMap<Socket, Connection>();
  #lastId = 0;

  constructor(options: GuardedServerOptions) {
    this.#options = options;
    this.#table = new ConnectionTable(options.maxConnections);
    this.server = createServer({
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      // Node.js counts the time before the first request too, in which a connection is idle.
      headersTimeout: options.keepAliveMs + KEEP_ALIVE_MARGIN_MS,
      requestTimeout: 0,
    });
    this.server.maxHeadersCount = MAX_HEADER_FIELDS + 1;
    this.#applyLimits();
    this.server.on('connection', (socket: Socket) => {
      this.#onConnection(socket);
    });
    const onRequest: RequestListener = (req, res) => {
      this.#onRequest(req, res);
    };
    this.server.on('request', onRequest);
    this.server.on('checkContinue', onRequest);
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
      this.#onClientError(err, socket);
    });
    options.guard.add(this);
  }

  get connections(): number {
    return this.#table.size;
  }

  /** Closes the connections that have reached a time limit. */
  sweep(now: Millis): void {
    this.#applyLimits();
    for (const connection of this.#byId.values()) {
      this.#checkHeader(connection, now);
      this.#checkUnread(connection, now);
    }
  }

  #applyLimits(): void {
    const { maxHeaderBytes, idleTimeoutMs } = this.#options.limits();
    const server: Server & { maxHeaderSize?: number } = this.server;
    server.maxHeaderSize = maxHeaderBytes;
    server.keepAliveTimeout = Math.max(
      this.#options.keepAliveMs,
      idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
    );
  }

  #onConnection(socket: Socket): void {
    this.#lastId += 1;
    const id = this.#lastId;
    const { admitted, evicted } = this.#table.open(id);
    if (evicted !== undefined) {
      this.#close(this.#byId.get(evicted), 'connections');
    }
    if (!admitted) {
      this.#options.guard.count('connections');
      socket.destroy();
      return;
    }
    const connection: Connection = {
      id,
      socket,
      open: 0,
      idleBytes: 0,
      headerSince: undefined,
      unread: undefined,
      closed: false,
    };
    this.#byId.set(id, connection);
    this.#bySocket.set(socket, connection);
    socket.once('close', () => {
      connection.closed = true;
      this.#byId.delete(id);
      this.#table.close(id);
    });
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#bySocket.get(req.socket);
    // Requests that arrived together with the one for which the connection was closed.
    if (connection === undefined || connection.closed) {
      return;
    }
    connection.open += 1;
    if (connection.open > MAX_PIPELINED) {
      this.#close(connection, 'pipelined');
      return;
    }
    this.#follow(connection, req, res);
    if (req.rawHeaders.length > 2 * MAX_HEADER_FIELDS) {
      this.#options.guard.count('header-fields');
      sendResponse(req, res, HEADER_FIELDS_TOO_LARGE, '');
      return;
    }
    this.#options.onRequest(req, res);
  }

  /** Tells the table of connections how far a request is. */
  #follow(connection: Connection, req: IncomingMessage, res: ServerResponse): void {
    const { id, socket } = connection;
    const { 'content-length': declared, 'transfer-encoding': encoding } = req.headers;
    if (encoding === undefined && !(Number(declared) > 0)) {
      this.#table.busy(id);
    } else {
      this.#table.receiving(id);
      req.once('end', () => {
        this.#table.busy(id);
      });
    }
    res.once('close', () => {
      connection.open -= 1;
      if (connection.open === 0) {
        connection.idleBytes = socket.bytesRead;
        this.#table.idle(id);
      }
    });
  }

  #checkHeader(connection: Connection, now: Millis): void {
    const { socket, open, idleBytes, headerSince } = connection;
    if (open > 0 || socket.bytesRead === idleBytes) {
      connection.headerSince = undefined;
    } else if (headerSince === undefined) {
      connection.headerSince = now;
    } else if (now - headerSince >= this.#options.limits().headerTimeoutMs) {
      this.#options.guard.count('header-too-slow');
      this.#refuse(socket, REQUEST_TIMEOUT);
    }
  }

  #checkUnread(connection: Connection, now: Millis): void {
    const { socket, unread } = connection;
    if (socket.writableLength === 0) {
      connection.unread = undefined;
      return;
    }
    const sent = socket.bytesWritten - socket.writableLength;
    if (unread?.bytes !== sent) {
      connection.unread = { bytes: sent, since: now };
    } else if (now - unread.since > UNREAD_TIMEOUT_MS) {
      this.#close(connection, 'response-unread');
    }
  }

  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    switch (err.code) {
      case 'ECONNRESET':
        socket.destroy();
        return;
      case 'HPE_HEADER_OVERFLOW':
        this.#options.guard.count('header-fields');
        this.#refuse(socket, HEADER_FIELDS_TOO_LARGE);
        return;
      case 'ERR_HTTP_REQUEST_TIMEOUT':
        this.#options.guard.count('header-too-slow');
        this.#refuse(socket, REQUEST_TIMEOUT);
        return;
      default:
        this.#options.guard.count('malformed');
        this.#refuse(socket, BAD_REQUEST);
    }
  }

  /** Answers a request that could not be parsed, unless a response has begun, and closes. */
  #refuse(socket: Socket, status: number): void {
    const idle = (this.#bySocket.get(socket)?.open ?? 0) === 0;
    if (socket.writable && idle) {
      const line = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
      socket.write(`${line}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    }
    socket.destroySoon();
  }

  #close(connection: Connection | undefined, reason: GuardReason): void {
    if (connection !== undefined) {
      connection.closed = true;
      connection.socket.destroy();
      this.#options.guard.count(reason);
    }
  }
}
