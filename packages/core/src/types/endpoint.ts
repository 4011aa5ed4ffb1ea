/** A host and a port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Splits an address of the form `host:port`. */
export function parseEndpoint(address: string): Endpoint {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}
