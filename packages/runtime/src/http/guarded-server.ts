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
import { hasBody } from './body-reader.js';
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
/** Time in addition for the bytes that are not sent, since a write under way shows no progress. */
const UNREAD_BYTES_PER_MS = 16;

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
  /** Requests whose response has not been sent. */
  open: number;
  /** Complete requests that are not answered. */
  working: number;
  /** The latest response. */
  response: ServerResponse | undefined;
  /** Responses that have not been sent, in the order of their requests. */
  readonly responses: Set<ServerResponse>;
  /** Bytes received and sent at the last sweep. */
  progress: number;
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
      this.#noteProgress(connection);
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
    // Node.js counts the time before the first request too, in which a connection is idle.
    server.headersTimeout = server.keepAliveTimeout + KEEP_ALIVE_MARGIN_MS;
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
      working: 0,
      response: undefined,
      responses: new Set(),
      progress: 0,
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
      connection.responses.forEach(closeQueued);
    });
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#bySocket.get(req.socket);
    // Requests that arrived together with the one for which the connection was closed.
    if (connection === undefined || connection.closed) {
      return;
    }
    connection.open += 1;
    connection.response = res;
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

  /** Follows how far a request is. */
  #follow(connection: Connection, req: IncomingMessage, res: ServerResponse): void {
    let isWorking = false;
    const setWorking = (value: boolean): void => {
      connection.working += Number(value) - Number(isWorking);
      isWorking = value;
      this.#classify(connection);
    };
    setWorking(!hasBody(req));
    req.once('end', () => {
      setWorking(!res.writableEnded);
    });
    // The whole response has been given, though the caller may not have read it.
    res.once('prefinish', () => {
      setWorking(false);
    });
    connection.responses.add(res);
    res.once('close', () => {
      connection.responses.delete(res);
      connection.open -= 1;
      setWorking(false);
    });
  }

  /** Tells the table of connections what the connection waits for. */
  #classify(connection: Connection): void {
    const { id, socket, open, working } = connection;
    if (working > 0) {
      this.#table.busy(id);
    } else if (open > 0) {
      this.#table.waiting(id);
    } else {
      connection.idleBytes = socket.bytesRead;
      this.#table.idle(id);
    }
  }

  #noteProgress(connection: Connection): void {
    const { socket, open, working } = connection;
    const progress = socket.bytesRead + socket.bytesWritten;
    if (open > 0 && working === 0 && progress !== connection.progress) {
      this.#table.waiting(connection.id);
    }
    connection.progress = progress;
  }

  #checkHeader(connection: Connection, now: Millis): void {
    const { socket, open, idleBytes, headerSince, response } = connection;
    // A response may be complete before the body of its request has arrived.
    const isBodyDue = response?.req.complete === false;
    if (open > 0 || isBodyDue || socket.bytesRead === idleBytes) {
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
    } else if (
      now - unread.since >
      UNREAD_TIMEOUT_MS + socket.writableLength / UNREAD_BYTES_PER_MS
    ) {
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

  /** Answers a request that could not be parsed, unless another response is due, and closes. */
  #refuse(socket: Socket, status: number): void {
    const { open = 0, working = 0, response } = this.#bySocket.get(socket) ?? {};
    const isBodyDue = open === 1 && working === 0 && response?.headersSent === false;
    if (socket.writable && (open === 0 || isBodyDue)) {
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

/**
 * Closes a response that waits for earlier ones on a closed connection. Node.js emits `close` only
 * for the response that is being sent, so what the others hold would never be released.
 */
function closeQueued(res: ServerResponse): void {
  if (res.socket === null && !res.destroyed) {
    res.destroy();
    res.emit('close');
  }
}
