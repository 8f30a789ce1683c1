import type { Fault } from '@currantgap/model';
import {
  dataCentresSchema,
  keysSchema,
  OperatorPath,
  statusSchema,
  teamsSchema,
  vmsSchema,
  type OperatorClient,
} from '@currantgap/operator';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { ClientCommand } from './client-command.ts';

/** Shows the status of an entry. */
export class StatusCommand extends ClientCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({ description: 'Show the state of an entry' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const status = await client.get(OperatorPath.Status, statusSchema);
    return status.map((value) => {
      const { members, ...rest } = value;
      const names = members.map((member) => member.name).join(' ');
      const fields = Object.entries({ ...rest, members: names });
      this.printRows(
        value,
        fields.map(([field, text]) => ({ field, value: text })),
      );
    });
  }
}

/** Lists the teams with their share, limit and running work. */
export class TeamListCommand extends ClientCommand {
  static override paths = [['team', 'list']];
  static override usage = Command.Usage({ description: 'List teams: share, limit, running' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const answer = await client.get(OperatorPath.Teams, teamsSchema);
    return answer.map((value) => {
      this.printRows(value, value.teams);
    });
  }
}

/** Lists the VMs. */
export class VmListCommand extends ClientCommand {
  static override paths = [['vm', 'list']];
  static override usage = Command.Usage({ description: 'List VMs' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const answer = await client.get(OperatorPath.Vms, vmsSchema);
    return answer.map((value) => {
      this.printRows(value, value.vms);
    });
  }
}

/** Lists the data centres. */
export class DataCentreListCommand extends ClientCommand {
  static override paths = [['datacentre', 'list']];
  static override usage = Command.Usage({ description: 'List data centres' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const answer = await client.get(OperatorPath.DataCentres, dataCentresSchema);
    return answer.map((value) => {
      this.printRows(value, value.dataCentres);
    });
  }
}

/** Lists the hashes of the keys in force. */
export class KeyListCommand extends ClientCommand {
  static override paths = [['key', 'list']];
  static override usage = Command.Usage({ description: 'List the hashes of the keys in force' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const answer = await client.get(OperatorPath.Keys, keysSchema);
    return answer.map((value) => {
      this.printRows(value, value.keys);
    });
  }
}

/** Removes a member whose VM is permanently gone. */
export class MemberRemoveCommand extends ClientCommand {
  static override paths = [['member', 'remove']];
  static override usage = Command.Usage({
    description: 'Take the seat of a member away whose VM is gone for good',
    details: 'Only when the VM is certainly off: the other entries are not asked.',
  });

  name = Option.String({ name: 'name' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const removed = await client.post(OperatorPath.RemoveMember, { name: this.name }, z.unknown());
    return removed.map(() => {
      this.printLine({}, `removed ${this.name}`);
    });
  }
}
