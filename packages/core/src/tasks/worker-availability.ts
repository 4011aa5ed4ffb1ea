import type { Resources } from './model.js';
import type { WorkerView } from './worker-view.js';

/** Fractions of a worker that are left free, since expected sizes are only estimates. */
const PROCESSOR_HEADROOM = 0.05;
const MEMORY_HEADROOM = 0.1;
/**
 * Fraction of processors and memory that tasks without accelerators leave unused while all
 * accelerators of the worker are free, in proportion if only some are, so that every free
 * accelerator stays usable.
 */
const ACCELERATOR_RESERVE_FRACTION = 0.5;

/** Unreserved resources, less the headroom. An idle worker is available entirely. */
export function availableOn(worker: WorkerView): Resources {
  const { capacity, used, tasks } = worker;
  if (tasks === 0) {
    return capacity;
  }
  return {
    processors: capacity.processors * (1 - PROCESSOR_HEADROOM) - used.processors,
    memoryMb: capacity.memoryMb * (1 - MEMORY_HEADROOM) - used.memoryMb,
    accelerators: capacity.accelerators - used.accelerators,
  };
}

/** Resources available to tasks without accelerators. */
export function availableToCpuOnly(worker: WorkerView): Resources {
  const available = availableOn(worker);
  const { capacity, tasks } = worker;
  if (capacity.accelerators === 0 || tasks === 0) {
    return available;
  }
  const kept = (available.accelerators / capacity.accelerators) * ACCELERATOR_RESERVE_FRACTION;
  return {
    processors: available.processors - capacity.processors * kept,
    memoryMb: available.memoryMb - capacity.memoryMb * kept,
    accelerators: 0,
  };
}
