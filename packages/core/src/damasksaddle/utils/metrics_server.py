"""Serves the metrics of this process over HTTP."""

from aiohttp import web

from damasksaddle.utils.metrics import exposition

PATH = "/metrics"


async def metrics_response(request: web.BaseRequest) -> web.Response:
    """Returns all metrics as text, for any path."""
    return web.Response(body=exposition(), content_type="text/plain")


async def serve_metrics(host: str, port: int) -> web.ServerRunner:
    """Starts the server; call `cleanup` on the returned runner to stop it."""
    runner = web.ServerRunner(web.Server(metrics_response, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
