/** `npm run soak -- FIRST_SEED COUNT SECONDS`: plays seeds one after the other and says what broke. */
import {playSeeds} from './play_seeds';
import {SoakRun} from './soak_run';

playSeeds(options => SoakRun.play(options));
