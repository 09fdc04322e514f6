/** `npm run soak:streams -- FIRST_SEED COUNT SECONDS`: plays seeds one after the other and says what broke. */
import {playSeeds} from './play_seeds';
import {StreamRun} from './stream_run';

playSeeds(options => StreamRun.play(options));
