import type {
  AppError,
  PoolName,
  Resources,
  Result,
  TaskEvent,
  TaskId,
  TaskSpec,
  TeamName,
} from '@turmerichoist/core';

/** A command of a caller to the owner of a pool. */
export type TaskCommand =
  | { readonly type: 'submit'; readonly pool: PoolName; readonly task: TaskSpec }
  | {
      readonly type: 'cancel';
      readonly pool: PoolName;
      readonly team: TeamName;
      readonly ids: readonly TaskId[];
    }
  | {
      readonly type: 'show';
      readonly pool: PoolName;
      readonly id: TaskId;
      /** Restricts the result to tasks of this team. Absent for operators. */
      readonly team?: TeamName;
    };

export type TaskOwnerMessage =
  | TaskEvent
  | {
      readonly type: 'command';
      readonly command: TaskCommand;
      readonly reply: (answer: Result<unknown, AppError>) => void;
    }
  | { readonly type: 'poll-workers' }
  | { readonly type: 'adjust-allowances' }
  /** Applies allowances and replies with the charges under them. */
  | {
      readonly type: 'lower-allowances';
      readonly teams: ReadonlyMap<TeamName, Resources>;
      readonly reply: (charges: ReadonlyMap<TeamName, Resources>) => void;
    };
