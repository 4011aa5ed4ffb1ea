export * from './mesh-messages.js';
export * from './peer-link.js';
export * from './peer-mesh.js';
export * from './types.js';
