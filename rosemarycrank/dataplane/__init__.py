"""The data path: requests from clients to targets through two nodes.

The entry node receives the request of a client and selects a target; the
node on the VM of that target admits, queues and runs the attempt. The same
code serves the product's own interface and that of the users' platform: an
`Adapter` supplies the names of header fields, the configuration and a store.
"""

from rosemarycrank.dataplane import _adapter
from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _binding
from rosemarycrank.dataplane import _decisions
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _http_client
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _process
from rosemarycrank.dataplane import _process_settings
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _registration
from rosemarycrank.dataplane import _routes
from rosemarycrank.dataplane import _small_server

Adapter = _adapter.Adapter
AddressTakenError = _binding.AddressTakenError
RetryBudgetSettings = _node.RetryBudgetSettings
CALL_TIMEOUT_S = _discovery.CALL_TIMEOUT_S
Configuration = _routes.Configuration
ExpectedFinish = _balance.ExpectedFinish
HeaderNames = _names.HeaderNames
Heartbeat = _registration.Heartbeat
HttpClient = _http_client.HttpClient
HttpReply = _http_client.HttpReply
Limits = _http1.Limits
Message = _http1.Message
Node = _node.Node
NodeProcess = _process.NodeProcess
LONG_POLL_MARGIN_S = _discovery.LONG_POLL_MARGIN_S
ProcessSettings = _process_settings.ProcessSettings
RandomTarget = _balance.RandomTarget
Reactor = _reactor.Reactor
Reply = _small_server.Reply
ReplyKind = _discovery.ReplyKind
Route = _routes.Route
HttpServer = _small_server.HttpServer
Store = _discovery.Store
StoredRow = _discovery.StoredRow
StoreReply = _discovery.StoreReply
TargetChooser = _balance.TargetChooser
TargetRecord = _frames.TargetRecord
WeightedService = _routes.WeightedService
check_numbers = _directory.check_numbers
is_free = _binding.is_free
configure_log = _decisions.configure
