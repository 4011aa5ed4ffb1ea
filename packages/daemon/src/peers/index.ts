export * from './ask-peer.js';
