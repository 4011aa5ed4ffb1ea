/** What the machine gives a process. */
export interface ProcessLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
}

/** What the listeners of a process may use together. */
export interface ListenerBounds {
  /** Bytes for bodies that are received and for decoded bodies that are not yet stored. */
  readonly bodyBytes: number;
  /** Connections of all listeners. */
  readonly connections: number;
}

const BYTES_PER_MB = 1_048_576;
/** Memory of a process under its usual load, without what its listeners hold. */
const BASE_MEMORY_MB = 120;
/** Least memory for listeners, on machines that are too small for the process. */
const MIN_LISTENER_MB = 16;
/** Share of the remaining memory for listeners; garbage and buffers of sockets need the rest. */
const LISTENER_SHARE = 0.5;
/** Share of the memory for listeners that bodies may use; connections have the rest. */
const BODY_SHARE = 0.5;
/** Memory of one connection: the socket, its parser and a request with the longest header fields. */
export const CONNECTION_BYTES = 32_768;
/** Descriptors for files, and for the process itself. */
const FILE_DESCRIPTORS = 200;
/** Share of the other descriptors for listeners; executors, the store and peers need the rest. */
const LISTENER_DESCRIPTOR_SHARE = 0.5;
const MIN_CONNECTIONS = 256;

/** Derives the bounds of the listeners from the limits of their process. */
export function listenerBounds({ memoryMb, fileDescriptors }: ProcessLimits): ListenerBounds {
  const freeMb = Math.max(MIN_LISTENER_MB, (memoryMb - BASE_MEMORY_MB) * LISTENER_SHARE);
  const bodyBytes = Math.floor(freeMb * BYTES_PER_MB * BODY_SHARE);
  const connectionBytes = freeMb * BYTES_PER_MB - bodyBytes;
  const descriptors = (fileDescriptors - FILE_DESCRIPTORS) * LISTENER_DESCRIPTOR_SHARE;
  const connections = Math.floor(Math.min(descriptors, connectionBytes / CONNECTION_BYTES));
  return { bodyBytes, connections: Math.max(MIN_CONNECTIONS, connections) };
}
