import { afterEach, expect, test } from '@jest/globals';
import type { UpstreamEcho } from '@turmerichoist/stand-ins';
import { request } from 'undici';
import { KEY, startFixture, type Fixture } from './request-path-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.close();
  fixture = undefined;
});

const auth = { authorization: `Bearer ${KEY}` };

function countHandled(target: Fixture): number {
  return target.upstreams.reduce((sum, upstream) => sum + upstream.handledRequests.length, 0);
}

test('a caller with a team key gets the complete response of the upstream', async () => {
  fixture = await startFixture(1);
  const res = await request(`${fixture.url}/q/site/path?x=1`, {
    method: 'POST',
    headers: { ...auth, 'x-request': 'r1' },
    body: 'hello',
  });
  const echo = (await res.body.json()) as UpstreamEcho;
  expect(res.statusCode).toBe(200);
  expect(echo).toMatchObject({ method: 'POST', path: '/path?x=1', body: 'hello', request: 'r1' });
});

test('a request with a wrong or missing key is refused as not-run and reaches no upstream', async () => {
  fixture = await startFixture(1);
  for (const headers of [{}, { authorization: 'Bearer wrong' }]) {
    const res = await request(`${fixture.url}/q/site/`, { headers });
    await res.body.dump();
    expect([401, 403]).toContain(res.statusCode);
    expect(res.headers['x-outcome']).toBe('not-run');
  }
  expect(countHandled(fixture)).toBe(0);
});

test('crossed answers: 100 concurrent callers each get the response to their own request', async () => {
  fixture = await startFixture(3, { workMs: 5 });
  const { url } = fixture;
  const answers = await Promise.all(
    Array.from({ length: 100 }, async (_, i) => {
      const res = await request(`${url}/q/site/${i}`, {
        headers: { ...auth, 'x-request': String(i) },
      });
      return (await res.body.json()) as UpstreamEcho;
    }),
  );
  expect(answers.map((echo) => echo.request)).toEqual(answers.map((_, i) => String(i)));
  expect(
    Math.max(...fixture.upstreams.map((upstream) => upstream.peakRunning)),
  ).toBeLessThanOrEqual(8);
});

test('a cut body is never forwarded as a complete response', async () => {
  fixture = await startFixture(1);
  fixture.upstreams[0]?.setFaults({ truncate: true });
  const res = await request(`${fixture.url}/q/site/`, { headers: auth });
  await expect(res.body.text()).rejects.toThrow();
});

test('a non-idempotent request whose connection is reset runs once and is not reported as not-run', async () => {
  fixture = await startFixture(3);
  for (const upstream of fixture.upstreams) {
    upstream.setFaults({ reset: true });
  }
  const res = await request(`${fixture.url}/q/site/`, {
    method: 'POST',
    headers: auth,
    body: 'x',
  });
  await res.body.dump();
  expect(res.statusCode).toBe(502);
  expect(res.headers['x-outcome']).toBe('unknown');
  expect(countHandled(fixture)).toBe(1);
});

test('an idempotent request whose connection is reset is retried at another upstream', async () => {
  fixture = await startFixture(2);
  fixture.upstreams[0]?.setFaults({ reset: true });
  const statuses: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    // At low load the retry budget is 3 per second, so requests are sent at about that rate.
    await new Promise((resolve) => setTimeout(resolve, 350));
    const res = await request(`${fixture.url}/q/site/`, { headers: auth });
    await res.body.dump();
    statuses.push(res.statusCode);
  }
  expect(statuses).toEqual([200, 200, 200, 200, 200, 200]);
});

test('silent connections: pending idempotent requests are retried over new connections', async () => {
  fixture = await startFixture(1, { workMs: 300 });
  const { url, upstreams } = fixture;
  const pending = Promise.all(
    Array.from({ length: 4 }, () => request(`${url}/q/site/`, { headers: auth })),
  );
  await new Promise((resolve) => setTimeout(resolve, 100));
  upstreams[0]?.silenceConnections();
  const answers = await pending;
  await Promise.all(answers.map((res) => res.body.dump()));
  expect(answers.map((res) => res.statusCode)).toEqual([200, 200, 200, 200]);
});

test('silent connections: a non-idempotent request is not retried and its outcome is unknown', async () => {
  fixture = await startFixture(1, { workMs: 300 });
  const pending = request(`${fixture.url}/q/site/`, {
    method: 'POST',
    headers: { ...auth, 'x-deadline-ms': '4000' },
    body: 'x',
  });
  await new Promise((resolve) => setTimeout(resolve, 100));
  fixture.upstreams[0]?.silenceConnections();
  const res = await pending;
  await res.body.dump();
  expect([res.statusCode, res.headers['x-outcome']]).toEqual([504, 'unknown']);
  expect(countHandled(fixture)).toBe(1);
});

test('a body over the limit of its queue is refused and reaches no upstream', async () => {
  fixture = await startFixture(1);
  const res = await request(`${fixture.url}/q/site/`, {
    method: 'POST',
    headers: auth,
    body: Buffer.alloc(8_388_609),
  });
  await res.body.dump();
  expect([res.statusCode, countHandled(fixture)]).toEqual([413, 0]);
});

test('a large body is forwarded completely', async () => {
  fixture = await startFixture(1);
  const body = 'y'.repeat(4_194_304);
  const res = await request(`${fixture.url}/q/site/`, { method: 'POST', headers: auth, body });
  const echo = (await res.body.json()) as UpstreamEcho;
  expect(echo.body.length).toBe(body.length);
});
