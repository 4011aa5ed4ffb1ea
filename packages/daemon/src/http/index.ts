export * from './answers.js';
export * from './http-server.js';
