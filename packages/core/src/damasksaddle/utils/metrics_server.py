"""Serves the metrics of this process over HTTP."""

from aiohttp import web

from damasksaddle.utils.metrics import exposition

PATH = "/metrics"


async def metrics_response(request: web.BaseRequest) -> web.Response:
    """Answers with all metrics as text, whatever the path."""
    return web.Response(body=exposition(), content_type="text/plain")


async def serve_metrics(host: str, port: int) -> web.ServerRunner:
    """Starts to listen; call `cleanup` of what is returned to stop."""
    runner = web.ServerRunner(web.Server(metrics_response, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
