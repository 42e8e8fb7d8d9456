// The part of undici that the gateway uses. Its index also loads fetch, caches and
// mocks, which would delay each start of the program.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const api = require('../node_modules/undici/lib/api/index.js');

// As undici's index does: adds `request` to its clients.
Object.assign(Dispatcher.prototype, api);

module.exports = {
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
};
