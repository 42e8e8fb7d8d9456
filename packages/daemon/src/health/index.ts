/** Health server and readiness of the daemon. */
export * from './health_server.js';
export * from './readiness.js';
