// Checks of rules over the events of stand-in executors: start, end, noted, lost.

/** Ends `done` that were taken note of while the executor's lease had not lapsed since the end. */
function findNotedEnds(events) {
  const open = new Set();
  const noted = new Set();
  for (const { type, executor, born, how, seq } of events) {
    const end = `${executor}/${born}/${seq}`;
    if (type === 'end' && how === 'done') {
      open.add(end);
    } else if (type === 'lapse') {
      [...open]
        .filter((one) => one.startsWith(`${executor}/${born}/`))
        .forEach((one) => open.delete(one));
    } else if (type === 'noted' && open.has(end)) {
      noted.add(end);
    }
  }
  return noted;
}

/**
 * TWICE: starts of a task after a run of it has ended `done`, if that end is taken note of then or
 * later and was listed under a lease that had not lapsed, and starts while another run of it goes on.
 */
export function findSecondRuns(events) {
  const noted = findNotedEnds(events);
  const doneAt = new Map();
  const running = new Map();
  const found = [];
  for (const { at, type, executor, born, task, attempt, how, seq } of events) {
    const run = `${executor}/${born}/${attempt}`;
    if (type === 'start') {
      const others = running.get(task) ?? new Set();
      if (others.size > 0) {
        found.push(`${task}: ${run} started at ${at} ms while ${[...others]} runs`);
      }
      if (doneAt.has(task)) {
        found.push(`${task}: ${run} started at ${at} ms, done at ${doneAt.get(task)} ms`);
      }
      running.set(task, others.add(run));
    } else if (type === 'end' || type === 'lost') {
      running.get(task)?.delete(run);
      if (how === 'done' && noted.has(`${executor}/${born}/${seq}`) && !doneAt.has(task)) {
        doneAt.set(task, at);
      }
    }
  }
  return found;
}
