import { ChangeKind, createKey, hashKey, type Change } from '@currantgap/environment';
import type { Fault } from '@currantgap/model';
import { acceptedChangeSchema, OperatorPath, type OperatorClient } from '@currantgap/operator';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import { ClientCommand } from './client-command.ts';

/** A command that makes one small change. */
abstract class ChangeCommand extends ClientCommand {
  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const change = this.createChange();
    const accepted = await client.post(OperatorPath.Changes, { change }, acceptedChangeSchema);
    return accepted.map((value) => {
      this.printLine({ ...value, ...this.describe() }, this.formatLine(value.sequence));
    });
  }

  protected abstract createChange(): Change;

  /** Describes further fields of the JSON output. */
  protected describe(): Record<string, string> {
    return {};
  }

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

  protected override describe(): Record<string, string> {
    return { key: this.#key, keyHash: hashKey(this.#key) };
  }

  protected override formatLine(): string {
    return this.#key;
  }
}

/** Withdraws a key. */
export class KeyWithdrawCommand extends ChangeCommand {
  static override paths = [['key', 'withdraw']];
  static override usage = Command.Usage({ description: 'Withdraw a key by its hash' });

  keyHash = Option.String({ name: 'hash' });

  protected createChange(): Change {
    return { kind: ChangeKind.WithdrawKey, keyHash: this.keyHash };
  }
}

/** Takes a data centre out. */
export class DataCentreOutCommand extends ChangeCommand {
  static override paths = [['datacentre', 'out']];
  static override usage = Command.Usage({ description: 'Take a data centre out of service' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.TakeOutDataCentre, dataCentre: this.name };
  }
}

/** Brings a data centre back. */
export class DataCentreInCommand extends ChangeCommand {
  static override paths = [['datacentre', 'in']];
  static override usage = Command.Usage({ description: 'Bring a data centre back into service' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.BringBackDataCentre, dataCentre: this.name };
  }
}

/** Orders a VM to leave. */
export class VmLeaveCommand extends ChangeCommand {
  static override paths = [['vm', 'leave']];
  static override usage = Command.Usage({ description: 'Give a VM no new work' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.OrderVmLeave, vm: this.name };
  }
}

/** Brings a VM back. */
export class VmReturnCommand extends ChangeCommand {
  static override paths = [['vm', 'return']];
  static override usage = Command.Usage({ description: 'Give a VM work again' });

  name = Option.String({ name: 'name' });

  protected createChange(): Change {
    return { kind: ChangeKind.BringBackVm, vm: this.name };
  }
}
