import {createRequire} from 'node:module';

const google = createRequire(import.meta.url)('gts/.prettierrc.json');

export default {...google, proseWrap: 'preserve'};
