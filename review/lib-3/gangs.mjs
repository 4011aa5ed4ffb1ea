import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

const DIGITS = 8;

/** A checkpoint names the work that it holds and the job. */
function checkpointOf(workMs, task) {
  return workMs === 0 ? '' : workMs.toString(16).padStart(DIGITS, '0') + task.slice(0, DIGITS);
}

function workOf(checkpoint = '') {
  return checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, DIGITS), 16);
}

/**
 * The gangs of an installation, as PROTOCOL.md tells them: the tasks of one run of a step work from the
 * moment when all are present, and all must carry the same checkpoint. A member that has waited for
 * `timeoutMs` ends `alone`, and when one ends, the others are `broken`.
 */
export class Gangs {
  #gangs = new Map();

  constructor({ isGang, size, workMs, checkpointMs, timeoutMs }) {
    this.options = { isGang, size, workMs, checkpointMs, timeoutMs };
  }

  has(task) {
    return this.options.isGang(task);
  }

  join(run) {
    const key = this.#keyOf(run);
    const gang = this.#gangs.get(key) ?? { members: new Set(), startedAt: undefined };
    this.#gangs.set(key, gang);
    run.gang = gang;
    gang.members.add(run);
    run.timer = setTimeout(() => run.end('alone'), this.options.timeoutMs);
    const checkpoints = new Set([...gang.members].map(({ checkpoint = '' }) => checkpoint));
    if (gang.members.size === this.options.size && checkpoints.size === 1) {
      this.#begin(gang, workOf(run.checkpoint));
    }
  }

  #begin(gang, workMs) {
    gang.startedAt = performance.now();
    gang.workMs = workMs;
    const leftMs = this.options.workMs - workMs;
    gang.members.forEach((run) => {
      clearTimeout(run.timer);
      run.timer = setTimeout(() => this.#complete(gang), leftMs);
    });
  }

  #complete(gang) {
    const members = [...gang.members];
    gang.members.clear();
    members.forEach((run) => run.end('done'));
  }

  /** A run has ended or its executor is gone: the others of a gang at work are broken. */
  left(run) {
    const { gang } = run;
    if (gang?.members.delete(run) === true && gang.startedAt !== undefined) {
      const others = [...gang.members];
      gang.members.clear();
      others.forEach((other) => other.end('broken'));
    }
  }

  /** The newest checkpoint of a run. */
  saved({ gang, task, checkpoint = '' }) {
    if (gang?.startedAt === undefined) {
      return checkpoint;
    }
    const { checkpointMs } = this.options;
    const done = gang.workMs + performance.now() - gang.startedAt;
    return checkpointOf(Math.floor(done / checkpointMs) * checkpointMs, task);
  }

  #keyOf({ task, attempt }) {
    return `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`;
  }
}
