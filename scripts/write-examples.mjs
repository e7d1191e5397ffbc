// `npm run examples`: writes the settings files of both example deployments from their stack.json.
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {writeStackSettings} from './stack.mjs';

for (const example of ['examples/cooperativa', 'examples/jari']) {
	const topology = JSON.parse(readFileSync(path.join(example, 'stack.json'), 'utf8'));
	writeStackSettings(topology, path.join(example, 'settings'));
}
