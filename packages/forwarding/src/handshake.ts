import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { describeError } from '@currantgap/model';
import type { Logger } from '@currantgap/telemetry';

/** Value of the `upgrade` header; both ends must speak the same version. */
const FORWARDING_PROTOCOL = 'currantgap-forwarding-3';

/** What a forwarder tells about its node. */
export interface ForwarderInfo {
  readonly node: string;
  readonly dataCentre: string;
  readonly cores: number;
  readonly linkMbps: number;
  /** Epoch of the owner that the forwarder wants to serve. */
  readonly epoch: number;
  /** The forwarder's boot clock when it sent the request, in milliseconds. */
  readonly clockMs: number;
}

const NODE_HEADER = 'currantgap-node';
const DATA_CENTRE_HEADER = 'currantgap-data-centre';
const CORES_HEADER = 'currantgap-cores';
const LINK_HEADER = 'currantgap-link-mbps';
const EPOCH_HEADER = 'currantgap-epoch';
const CLOCK_HEADER = 'currantgap-clock-ms';

/** Encodes the headers of the request with which a forwarder connects to the owner. */
export function encodeHandshake(info: ForwarderInfo): Record<string, string> {
  return {
    connection: 'upgrade',
    upgrade: FORWARDING_PROTOCOL,
    [NODE_HEADER]: info.node,
    [DATA_CENTRE_HEADER]: info.dataCentre,
    [CORES_HEADER]: String(info.cores),
    [LINK_HEADER]: String(info.linkMbps),
    [EPOCH_HEADER]: String(info.epoch),
    [CLOCK_HEADER]: String(info.clockMs),
  };
}

/** Decodes the headers of a forwarder's request; undefined if one is missing or malformed. */
export function decodeHandshake(headers: IncomingHttpHeaders): ForwarderInfo | undefined {
  if (headers.upgrade !== FORWARDING_PROTOCOL) return undefined;
  const node = headers[NODE_HEADER];
  const dataCentre = headers[DATA_CENTRE_HEADER];
  const cores = Number(headers[CORES_HEADER]);
  const linkMbps = Number(headers[LINK_HEADER]);
  const epoch = Number(headers[EPOCH_HEADER]);
  const clockMs = Number(headers[CLOCK_HEADER]);
  if (typeof node !== 'string' || typeof dataCentre !== 'string') return undefined;
  if (!(cores > 0) || !(linkMbps > 0) || !Number.isInteger(epoch)) return undefined;
  if (headers[CLOCK_HEADER] === undefined || !Number.isFinite(clockMs)) return undefined;
  return { node, dataCentre, cores, linkMbps, epoch, clockMs };
}

/** Accepts the connections of forwarders. */
export interface ForwarderAcceptor {
  /** Epoch of the owner in this process. */
  readonly epoch: number;
  accept(info: ForwarderInfo, socket: Duplex, head: Buffer): void;
}

/** A request to forward calls, as Node's `upgrade` event passes it on. */
export interface ForwarderRequest {
  readonly request: IncomingMessage;
  readonly socket: Duplex;
  /** Bytes that were received after the request. */
  readonly head: Buffer;
  /** Undefined if no owner runs in this process. */
  readonly acceptor: ForwarderAcceptor | undefined;
}

/**
 * Answers the request of a forwarder: passes the connection on if this node is the owner that the
 * forwarder wants to serve, and refuses it otherwise.
 */
export function acceptForwarder(
  { request, socket, head, acceptor }: ForwarderRequest,
  logger: Logger,
): void {
  // Without a listener, a connection that is reset while it is refused would end the process.
  socket.on('error', (error: unknown) => {
    logger.writeInfo('forwarder connection failed', { reason: describeError(error) });
  });
  const info = decodeHandshake(request.headers);
  if (info === undefined || acceptor?.epoch !== info.epoch) {
    socket.end(
      'HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n',
    );
    return;
  }
  socket.write(
    `HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${FORWARDING_PROTOCOL}\r\n\r\n`,
  );
  acceptor.accept(info, socket, head);
}
