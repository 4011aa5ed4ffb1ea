import type { Resources } from './model.js';

export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

export function add(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function subtract(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

export function scale(resources: Resources, by: number): Resources {
  return {
    processors: resources.processors * by,
    memoryMb: resources.memoryMb * by,
    accelerators: resources.accelerators * by,
  };
}

/** Maximum of each resource. */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    processors: Math.max(a.processors, b.processors),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Minimum of each resource. */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

/**
 * Tolerance of comparisons, since repeated additions and subtractions accumulate rounding errors.
 */
const ROUNDING_TOLERANCE = 1e-6;

export function fitsIn(amount: Resources, room: Resources): boolean {
  return (
    amount.processors <= room.processors + ROUNDING_TOLERANCE &&
    amount.memoryMb <= room.memoryMb + ROUNDING_TOLERANCE &&
    amount.accelerators <= room.accelerators + ROUNDING_TOLERANCE
  );
}

/** Largest fraction of any single resource of `capacity` that `amount` takes. */
export function dominantShare(amount: Resources, capacity: Resources): number {
  return Math.max(
    part(amount.processors, capacity.processors),
    part(amount.memoryMb, capacity.memoryMb),
    part(amount.accelerators, capacity.accelerators),
  );
}

/** Fraction of each resource of `capacity` that `amount` takes. */
export function fractionOf(amount: Resources, capacity: Resources): Resources {
  return {
    processors: part(amount.processors, capacity.processors),
    memoryMb: part(amount.memoryMb, capacity.memoryMb),
    accelerators: part(amount.accelerators, capacity.accelerators),
  };
}

/** Maximum of all resources. */
export function largest({ processors, memoryMb, accelerators }: Resources): number {
  return Math.max(processors, memoryMb, accelerators);
}

function part(amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0;
}
