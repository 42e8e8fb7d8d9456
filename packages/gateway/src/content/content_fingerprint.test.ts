import test from 'ava';
import {contentFingerprint} from './content_fingerprint.js';

const CONTENT = {
  method: 'POST',
  host: 'shop.example',
  target: '/book/a?b=1',
  body: Buffer.from('one seat'),
};

test('requests with the same method, host, target and body share a fingerprint', t => {
  const other = {...CONTENT, id: 'r-2', body: Buffer.from('one seat')};
  t.is(contentFingerprint(CONTENT), contentFingerprint(other));
});

test('each part of the content changes the fingerprint', t => {
  const fingerprints = [
    CONTENT,
    {...CONTENT, method: 'PUT'},
    {...CONTENT, host: 'shop2.example'},
    {...CONTENT, target: '/book/a?b=2'},
    {...CONTENT, body: Buffer.from('two seats')},
    // The same bytes, divided differently.
    {...CONTENT, target: '/book/a?b=', body: Buffer.from('1\none seat')},
  ].map(contentFingerprint);
  t.is(new Set(fingerprints).size, fingerprints.length);
});
