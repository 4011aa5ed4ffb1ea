import type {
  AppError,
  PoolName,
  Resources,
  Result,
  TaskAnswer,
  TaskEvent,
  TaskId,
  TaskRecord,
  TaskSpec,
  TeamName,
} from '@turmerichoist/core';

export type AnswerReply = (answer: Result<TaskAnswer, AppError>) => void;

/** What a caller may ask of the owner of a pool. */
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
      /** Only tasks of this team are shown; absent for operators. */
      readonly team?: TeamName;
    };

/** State of a task and what it waits for. */
export interface TaskView {
  readonly id: TaskId;
  readonly team: TeamName;
  readonly state: TaskRecord['state'];
  readonly detail: string;
  readonly why?: unknown;
}

export type TaskOwnerMessage =
  | TaskEvent
  | {
      readonly type: 'command';
      readonly command: TaskCommand;
      readonly reply: (answer: Result<unknown, AppError>) => void;
    }
  | { readonly type: 'poll-workers' }
  | { readonly type: 'adjust-allowances' }
  /** Puts allowances into force and tells what is charged against them then. */
  | {
      readonly type: 'lower-allowances';
      readonly teams: ReadonlyMap<TeamName, Resources>;
      readonly reply: (charges: ReadonlyMap<TeamName, Resources>) => void;
    };
