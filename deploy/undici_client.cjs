// The part of undici that the gateway uses. Its index also loads fetch, caches and
// mocks, which would delay each start of the program.
module.exports = {
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
};
