import { ChangeKind, createKey, hashKey, type Change } from '@currantgap/environment';
import type { Fault } from '@currantgap/model';
import { acceptedChangeSchema, OperatorPath, type OperatorClient } from '@currantgap/operator';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import { ClientCommand } from './client-command.ts';

/** Base class of the commands that submit one configuration change. */
abstract class ChangeCommand extends ClientCommand {
  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const change = this.createChange();
    const accepted = await client.post(OperatorPath.Changes, { change }, acceptedChangeSchema);
    return accepted.map((value) => {
      this.printLine({ ...value, ...this.getExtraFields() }, this.formatLine(value.sequence));
    });
  }

  /** Creates the change to submit. */
  protected abstract createChange(): Change;

  /** Returns additional fields of the JSON output. */
  protected getExtraFields(): Record<string, string> {
    return {};
  }

  /** Formats the human-readable output; `sequence` is the number of the accepted change. */
  protected formatLine(sequence: number): string {
    return `accepted as change ${sequence}`;
  }
}

/** Grants a new key to a team. */
export class KeyGrantCommand extends ChangeCommand {
  static override paths = [['key', 'grant']];
  static override usage = Command.Usage({
    description: 'Grant a new key to a team',
    details: 'The key is printed once; only its hash is kept.',
  });

  team = Option.String({ name: 'team' });
  readonly #key = createKey();

  protected createChange(): Change {
    return { kind: ChangeKind.GrantKey, team: this.team, keyHash: hashKey(this.#key) };
  }

  protected override getExtraFields(): Record<string, string> {
    return { key: this.#key, keyHash: hashKey(this.#key) };
  }

  protected override formatLine(): string {
    return this.#key;
  }
}

/** Withdraws a key, identified by its hash. */
export class KeyWithdrawCommand extends ChangeCommand {
  static override paths = [['key', 'withdraw']];
  static override usage = Command.Usage({ description: 'Withdraw a key by its hash' });

  keyHash = Option.String({ name: 'hash' });

  protected createChange(): Change {
    return { kind: ChangeKind.WithdrawKey, keyHash: this.keyHash };
  }
}

/** Takes a data centre out of service. */
export class DataCentreOutCommand extends ChangeCommand {
  static override paths = [['datacentre', 'out']];
  static override usage = Command.Usage({ description: 'Take a data centre out of service' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.TakeOutDataCentre, dataCentre: this.name };
  }
}

/** Brings a data centre back into service. */
export class DataCentreInCommand extends ChangeCommand {
  static override paths = [['datacentre', 'in']];
  static override usage = Command.Usage({ description: 'Bring a data centre back into service' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.BringBackDataCentre, dataCentre: this.name };
  }
}

/** Excludes a VM from new work. */
export class VmLeaveCommand extends ChangeCommand {
  static override paths = [['vm', 'leave']];
  static override usage = Command.Usage({ description: 'Give a VM no new work' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.OrderVmLeave, vm: this.name };
  }
}

/** Allows new work on a VM again. */
export class VmReturnCommand extends ChangeCommand {
  static override paths = [['vm', 'return']];
  static override usage = Command.Usage({ description: 'Give a VM work again' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.BringBackVm, vm: this.name };
  }
}
