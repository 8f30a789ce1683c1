import { z } from 'zod';

/** Kinds of configuration change. */
export enum ChangeKind {
  ApplyDocument = 'apply-document',
  GrantKey = 'grant-key',
  WithdrawKey = 'withdraw-key',
  TakeOutDataCentre = 'take-out-data-centre',
  BringBackDataCentre = 'bring-back-data-centre',
  OrderVmLeave = 'order-vm-leave',
  BringBackVm = 'bring-back-vm',
}

/** Schema of a change in the change log. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal(ChangeKind.ApplyDocument), hash: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.GrantKey), team: z.string(), keyHash: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.WithdrawKey), keyHash: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.TakeOutDataCentre), dataCentre: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.BringBackDataCentre), dataCentre: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.OrderVmLeave), vm: z.string() }),
  z.strictObject({ kind: z.literal(ChangeKind.BringBackVm), vm: z.string() }),
]);

/** A configuration change. */
export type Change = z.infer<typeof changeSchema>;

/** Key, data centre and VM of a start of work; a change can forbid starts for each of them. */
export interface StartSubject {
  readonly keyHash: string | undefined;
  readonly dataCentre: string;
  readonly vm: string;
}

/** Whether `change` could forbid a start for `subject` once it is in force. */
export function canForbid(change: Change, subject: StartSubject): boolean {
  switch (change.kind) {
    case ChangeKind.ApplyDocument:
      return true;
    case ChangeKind.WithdrawKey:
      return change.keyHash === subject.keyHash;
    case ChangeKind.TakeOutDataCentre:
      return change.dataCentre === subject.dataCentre;
    case ChangeKind.OrderVmLeave:
      return change.vm === subject.vm;
    case ChangeKind.GrantKey:
    case ChangeKind.BringBackDataCentre:
    case ChangeKind.BringBackVm:
      return false;
  }
}

/** Whether a change can forbid any start; such a change must be announced before its commit. */
export function isRestrictive(change: Change): boolean {
  return (
    change.kind === ChangeKind.ApplyDocument ||
    change.kind === ChangeKind.WithdrawKey ||
    change.kind === ChangeKind.TakeOutDataCentre ||
    change.kind === ChangeKind.OrderVmLeave
  );
}
