import type { Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import * as defaults from './defaults.ts';
import { parseToml, type TomlSource } from './toml.ts';

const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'expected an IP number and port such as "10.0.0.1:7000"',
  );
const url = z.url('expected a URL such as "http://10.0.0.1:8000"');
const milliseconds = z.number().int().positive();

const schema = z.strictObject({
  entry: z.strictObject({
    name: z.string().regex(/^[a-z0-9-]+$/, 'expected lower-case letters, digits and hyphens'),
    dataCentre: z.string().min(1),
    environment: z.string().min(1),
  }),
  listen: z.strictObject({ caller: address, operator: address, peer: address }),
  advertise: z.strictObject({ peer: address }).optional(),
  platform: z.strictObject({ table: url, objects: url, vms: url }),
  keys: z.strictObject({
    peer: z.string().min(defaults.MINIMUM_PEER_KEY_LENGTH, 'expected at least 16 characters'),
    operator: z.string().min(defaults.MINIMUM_PEER_KEY_LENGTH, 'expected at least 16 characters'),
  }),
  limits: z
    .strictObject({
      /** @default MAXIMUM_QUEUE_LENGTH */
      queueLength: z.number().int().positive().default(defaults.MAXIMUM_QUEUE_LENGTH),
      /** @default MAXIMUM_BODY_BYTES */
      bodyBytes: z.number().int().positive().default(defaults.MAXIMUM_BODY_BYTES),
      /** @default MAXIMUM_HELD_BYTES */
      heldBytes: z.number().int().positive().default(defaults.MAXIMUM_HELD_BYTES),
      /** @default MAXIMUM_TIMEOUT_MS */
      maximumTimeoutMs: milliseconds.default(defaults.MAXIMUM_TIMEOUT_MS),
      /** @default DEFAULT_TIMEOUT_MS */
      defaultTimeoutMs: milliseconds.default(defaults.DEFAULT_TIMEOUT_MS),
    })
    .prefault({}),
  timing: z
    .strictObject({
      /** @default HEARTBEAT_PERIOD_MS */
      heartbeatMs: milliseconds.default(defaults.HEARTBEAT_PERIOD_MS),
      /** @default POLL_PERIOD_MS */
      pollMs: milliseconds.default(defaults.POLL_PERIOD_MS),
      /** @default FRESHNESS_BOUND_MS */
      freshnessBoundMs: milliseconds.default(defaults.FRESHNESS_BOUND_MS),
      /** @default SUSPECT_AFTER_MS */
      suspectAfterMs: milliseconds.default(defaults.SUSPECT_AFTER_MS),
      /** @default BALANCER_NOTICE_MS */
      balancerNoticeMs: milliseconds.default(defaults.BALANCER_NOTICE_MS),
    })
    .prefault({}),
});

/** Validated settings of one entry process. */
export type EntrySettings = z.infer<typeof schema>;

/** Parses and validates the settings file of an entry. Returns all faults in the file. */
export function parseEntrySettings(source: TomlSource): Result<EntrySettings, Fault[]> {
  return parseToml(source, schema as z.ZodType<EntrySettings>);
}
