"""Import every module that adds commands, queries or sections to the state machine.

A replica applies every command in the log, including those of parts that do not run in
its process. If one of these modules were not imported, the replica would find no
function for a committed command and would have to stop. The daemon imports this module;
the processes in `nodes` import only the modules whose commands can be in the log of
their group. A test checks that no module is missing here.
"""

from bilberrydrum.batches import commands as batch_commands
from bilberrydrum.bundles import commands as bundle_commands
from bilberrydrum.bundles import queries as bundle_queries
from bilberrydrum.bundles import records as bundle_records
from bilberrydrum.fleet import commands as fleet_commands
from bilberrydrum.fleet import crash_commands
from bilberrydrum.requests import claims_state
from bilberrydrum.samples import applying, section
from bilberrydrum.samples import queries as sample_queries
from bilberrydrum.state import commands as state_commands
from bilberrydrum.state import controller_commands, processes
from bilberrydrum.usage import commands as usage_commands
from bilberrydrum.weights import commands as weight_commands
from bilberrydrum.weights import queries as weight_queries

MODULES = (
    batch_commands,
    fleet_commands,
    crash_commands,
    bundle_commands,
    bundle_queries,
    bundle_records,
    claims_state,
    applying,
    section,
    sample_queries,
    state_commands,
    controller_commands,
    processes,
    usage_commands,
    weight_commands,
    weight_queries,
)
