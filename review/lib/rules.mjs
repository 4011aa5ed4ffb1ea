// Checks of rules over the events of stand-in executors: start, end, noted, lost.

/**
 * TWICE: starts of a task after a run of it has ended `done`, if that end is taken note of then or
 * later and was listed under a lease that had not lapsed, and starts while another run of it goes on.
 */
export function findSecondRuns(events) {
  const noted = new Set(
    events
      .filter(({ type, how }) => type === 'noted' && how === 'done')
      .map(({ executor, born, seq }) => `${executor}/${born}/${seq}`),
  );
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
